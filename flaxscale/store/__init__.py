"""One durable log: records with checksums, group commit, snapshots, compaction. The files are handed in."""
