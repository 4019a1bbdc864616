"""The assigner in service: adapters between the policy and its peers on sockets. They decide nothing."""
