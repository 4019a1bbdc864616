"""The gateway's programs and its operators' commands: `python -m kestrelplank.gateway COMMAND`."""
