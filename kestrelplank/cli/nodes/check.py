"""`kestrelplank nodes check`: whether the set from the files may replace the set in force."""

import sys

import click

from kestrelplank.cli.nodes.files import (
    exit_on_unusable_files,
    expand_patterns,
    read_node_file_settings,
    read_node_lists,
    read_state,
)
from kestrelplank.cli.options import ini_option
from kestrelplank.command_output import ExitCode
from kestrelplank.state.change_guard import ChangeLimits, Decision, evaluate_change
from kestrelplank.state.node_set import assemble


@click.command()
@ini_option
def check(path: str | None) -> None:
    """Check whether the set from the files may replace the set in force. Exit 1: it would wait or be refused."""
    with exit_on_unusable_files():
        settings = read_node_file_settings(path)
        node_lists = read_node_lists(expand_patterns(settings), settings)
        node_set = assemble(node_lists)
        state = read_state(settings)
    confirmations = tuple(node_list.confirmed_hash for node_list in node_lists if node_list.confirmed_hash)
    limits = ChangeLimits(settings.max_closed_fraction, settings.confirmation_period_ns, settings.zone_may_empty)
    verdict = evaluate_change(state[0] if state else None, node_set, confirmations, 0, limits)
    print(f"{verdict.decision}: {verdict.reason}")
    sys.exit(ExitCode.DONE if verdict.decision is Decision.ACCEPTED else ExitCode.PROBLEM_FOUND)
