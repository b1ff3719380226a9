"""Stand-ins and helpers that the scripts of review/6 to review/10 share."""
