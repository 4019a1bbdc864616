"""Options shared by several commands of `kestrelplank`."""

import click

from kestrelplank.settings.operator import INI_VARIABLE

ini_option = click.option("--ini", "path", envvar=INI_VARIABLE, type=click.Path(), help="The operator's file.")
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
