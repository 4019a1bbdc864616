"""Messages of the relay (`hub` in settings) and the agent to an assigner, as their protocol specification says."""

JsonObject = dict[str, object]


def message(kind: str, **fields: object) -> JsonObject:
    """Return a message in the relay's stream."""
    return {"type": kind, "object": fields}


def attach(proxy: int | str, *, cold: bool = True) -> JsonObject:
    """Return the message for a proxy that has joined."""
    return message("attach", node=proxy, locality="a", w=2.0, cold=cold)


def instance(name: str, lifecycle: str = "in_service", started: float = 0) -> JsonObject:
    """Return a node as the agent lists it; `started` is in ms of Unix time."""
    return {
        "instanceId": name,
        "hostPort": "127.0.0.1:1",
        "zone": "a",
        "machineType": "m",
        "cell": 1,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started,
    }


def node_list(version: int, *instances: JsonObject, reset: bool = False) -> JsonObject:
    """Return the agent's complete list (`reset`) or a change of it."""
    return {"generation": version, "reset": reset, "instances": list(instances)}
