"""What a control member keeps on disk: its part of the replicated log, and readable copies of configurations."""
