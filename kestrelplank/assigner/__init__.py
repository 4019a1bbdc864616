"""The assigner in service: adapters between the decision module and the parties on sockets. They place nothing."""
