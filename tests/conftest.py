from hypothesis import settings

# The same cases each time, and no case judged by how busy the machine is.
settings.register_profile("same", derandomize=True, deadline=None, database=None, max_examples=60)
settings.load_profile("same")
