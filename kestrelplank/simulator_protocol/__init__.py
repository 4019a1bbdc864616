"""The adapter between the policy and the protocol of the operators' simulator; all decisions are the policy's."""
