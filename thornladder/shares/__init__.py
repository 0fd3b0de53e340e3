"""Fleet-wide budgets, divided among the nodes and divided again as nodes join and leave."""
