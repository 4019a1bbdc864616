"""Usage of tenants: counting of executed requests by window, collection, and reports to the platform. No I/O.

An edge counts attempts (`usage_counter`) in windows of true time (`true_time`, `windows`) and sends the counts to every
voter (`counts_sender`, `messages`). Each voter collects them (`usage_collector`); the leader fixes the content of a
window by a log entry once it is complete or must not wait longer (`window_fixing`). The holder of the role sends fixed
windows to the platform (`usage_reporter`). docs/usage.md has the design and the invariants.
"""
