"""A durable log: records with checksums, group commit, snapshots and compaction. Its owner passes in the files."""
