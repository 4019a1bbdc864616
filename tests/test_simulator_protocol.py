import json

import pytest

from kestrelplank.decode import Ids, non_negative_int, read_settings
from kestrelplank.simulator_protocol.events import read_load
from kestrelplank.simulator_protocol.host import Host
from kestrelplank.simulator_protocol.orders import OrderLines

OP_TYPE = {"Name": "look", "Target": 750.0, "Deadline": 2500.0, "Importance": 1.0, "Effect": "pure"}
CONF = {"Areas": ["east"], "Categories": [OP_TYPE], "Specifics": {"Shards": 4, "EgressPerS": 900.0}}


def new_host():
    host = Host()
    for line in (b'["ROUND",1000.0]', b'["CREATE",3,7,{"Areas":["east"],"Categories":[{"Name":"look"}]}]'):
        host.read(line, 1)
    return host


@pytest.mark.parametrize(
    "line, message",
    [
        (b'{"ROUND":1}', "expected an array"),
        (b'["ROUND"', "not JSON"),
        (b'["ROUND","soon"]', "ROUND, field clock"),
        (b'["NEWS",3]', "NEWS: unknown event"),
        (b'["TENURE",9,1,true]', "instance 9 has not been created"),
        (b'["TENURE",3,-1,true]', "TENURE, field SetId"),
        (b'["TENURE",3,1,"yes"]', "TENURE, field Yes"),
        (b'["ROUNDUP",3,null,0,1.0,1000.0,"east",5,null]', "ROUNDUP, field N"),
        (b'["WEIGHT_SEEN",3,1000.0,"buy",1,0,2]', "WEIGHT_SEEN, field Cls"),
        (b'["ROSTER_CHANGE",3,1,"delta",[[null,0,"asleep","east",5,"k",1]]]', "entry 0"),
    ],
)
def test_malformed_line_is_reported_with_its_number_and_field(line, message, capsys):
    host = new_host()
    assert host.read(line, 12) is None
    reported = capsys.readouterr().err
    assert reported.startswith("line 12: ") and message in reported and reported.count("\n") == 1


@pytest.mark.parametrize("extra", [{}, {"Moon": "full"}, {"Specifics": {"Tilt": 3}}, {"Rules": None}])
def test_unknown_and_missing_settings_are_skipped(extra):
    settings = read_settings(CONF | extra, Ids(non_negative_int), "settings")
    assert settings["op_types"][0]["target_latency"] == 750_000_000 and settings["cold_from"] == 1.0


@pytest.mark.parametrize(
    "reported, load",
    [(None, {}), ({}, {}), ({"cpu_share": 0.5, "moon": 1}, {"utilization": 0.5}), ({"served_ps": None}, {})],
)
def test_unknown_and_empty_load_values_are_skipped(reported, load):
    assert read_load(reported) == load


@pytest.mark.parametrize(
    "line",
    [
        b'["ROUNDUP",3,0,0,0,1000.0,"east",5,null]',
        b'["ROUNDUP",3,4,4,null,0,null,5,{}]',
        b'["WEIGHT_SEEN",3,0,"look",9,0,0]',
        b'["CURRENT_OWNER",3,5,9,0]',
        b'["TENURE",3,9,false]',
        b'["LOST_STREAM",3,44]',
        b'["INSTALLED",3,44,9,null]',
        b'["ROSTER_CHANGE",3,1,"full",null]',
        b'["DATAGRAM",3,1,""]',
    ],
)
def test_zero_counts_nulls_and_unknown_indices_are_accepted(line):
    host = new_host()
    host.read(line, 3)
    assert host.read(b'["GO"]', 4)[-1] == b'["DONE"]'


def test_loads_shared_between_assigners_are_mapped_to_the_receivers_indices():
    host = new_host()
    host.read(b'["ROSTER_CHANGE",3,1,"full",[[null,0,"up","east",77,"k",1],[null,0,"up","east",78,"k",1]]]', 3)
    host.read(b'["GO"]', 4)
    (policy, ids), reply = host.instances[3], []
    OrderLines(9, ids, reply).share_loads({1: 4.0})
    host.read(b'["ROUND",2000.0]', 5)
    host.read(json.dumps(["DATAGRAM", 3, 1, json.loads(reply[0])[3]]).encode(), 6)
    host.read(b'["GO"]', 7)
    assert policy.nodes[1].peer_loads[1][0] == 4.0 and not policy.nodes[0].peer_loads
