"""What is published: tables, levels, retry modes and withdrawals, as orders change them."""
