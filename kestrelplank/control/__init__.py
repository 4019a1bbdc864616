"""The control program: the replicated configuration, the membership of the control group and key range assignment."""
