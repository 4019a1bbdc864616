"""What a member keeps on disk: the operator's word as plain files, promises in lmdb."""
