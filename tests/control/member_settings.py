"""Settings of the only control member of a gateway, whose program runs in the process of the test."""

from contextlib import contextmanager

from kestrelplank.rehearsal.loopback import PortReservations
from kestrelplank.settings.platform import CloudApi, LocalSystem, Network, PlatformSettings

IP = "127.0.0.1"


@contextmanager
def member_settings(folder, *bounds):
    """Yield the settings, with reserved ports and the disk below the folder; `bounds`: from the bounds on."""
    with PortReservations() as ports:
        control, internal = ports.reserve([IP]), ports.reserve([IP])
        yield PlatformSettings(
            LocalSystem("core-1", IP, "hall", initial_boot=True, data_directory=str(folder / "disk")),
            Network([internal], [f"{IP}:{control}"], {"control_plane": f"{IP}:{control}"}),
            CloudApi(f"{IP}:9"),
            *bounds,
        )
