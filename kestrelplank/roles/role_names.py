"""The singleton roles that exist."""

from kestrelplank.state.role_table import RoleId

USAGE_REPORT = RoleId("usage_report", 0)
"""Reports the usage of tenants to the platform. All reports are one sequence, so the role is not split."""
