"""The control program: what the operator says, who the members are, which server holds which keys."""
