"""What the users' relay and agent say to an assigner, written from the page on their protocol."""

JsonObject = dict[str, object]


def message(kind: str, **fields: object) -> JsonObject:
    """Return a message of the relay's stream."""
    return {"type": kind, "object": fields}


def attach(proxy: int | str, *, cold: bool = True) -> JsonObject:
    """Return the message that a proxy has joined."""
    return message("attach", node=proxy, locality="a", w=2.0, cold=cold)


def instance(name: str, lifecycle: str = "in_service", started: float = 0) -> JsonObject:
    """Return a node as the agent lists it; `started` in ms of Unix time."""
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
    """Return the agent's list, or a change of it."""
    return {"generation": version, "reset": reset, "instances": list(instances)}
