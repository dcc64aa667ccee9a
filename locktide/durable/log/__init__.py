"""The write-ahead log: segments, framing of records and the records themselves."""
