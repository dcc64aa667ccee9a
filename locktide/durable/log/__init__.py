"""The write-ahead log: its segments, the framing of records, and the records themselves."""
