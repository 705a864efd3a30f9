"""Stand-ins and helpers of cases 11, 13 and 14, with the standard library only."""
