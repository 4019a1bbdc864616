from hypothesis import settings

# Deterministic cases, and no deadline, so that results don't depend on the load of the machine.
settings.register_profile("same", derandomize=True, deadline=None, database=None, max_examples=60)
settings.load_profile("same")
