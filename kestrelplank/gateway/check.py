"""`gateway check`: validates a configuration or a settings file and prints one line."""

from pathlib import Path

from kestrelplank.command_output import ExitCode
from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.configuration.route_table import Configuration
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.platform import PlatformSettings


def read_configuration(path: str) -> Configuration:
    """Return the configuration in the file at `path`.

    :raises InvalidSettingsError: the file can't be read, or is not a valid configuration.
    """
    try:
        result = parse_configuration(Path(path).read_bytes())
    except OSError as err:
        raise InvalidSettingsError(err.strerror or str(err), file=path) from err
    configuration = result.value_or(None)
    if configuration is None:
        raise InvalidSettingsError(str(result.failure()), file=path)
    return configuration


def check_configuration(path: str) -> ExitCode:
    """Print the version and the numbers of routes, services and, if it has any, tenants of a valid configuration.

    :raises InvalidSettingsError: the file is not a valid configuration.
    """
    configuration = read_configuration(path)
    routes = sum(map(len, configuration.routes_by_host.values()))
    services = len(configuration.services)
    tenants = "" if configuration.tenants is None else f", {len(configuration.tenants.tenants)} tenants"
    print(f"{path}: version {configuration.key.version:08x}, {routes} routes, {services} services{tenants}")
    return ExitCode.DONE


def check_settings(path: str, settings: PlatformSettings) -> ExitCode:
    """Print the node name of valid settings that were read from the file at `path`."""
    print(f"{path}: {settings.local_system.node_name}")
    return ExitCode.DONE
