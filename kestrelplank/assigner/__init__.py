"""The assigner program: adapters between the policy and its peers on sockets; all decisions are the policy's."""
