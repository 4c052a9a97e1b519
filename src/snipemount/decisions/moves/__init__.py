"""Version moves: their plan, and the analysis of the new version."""
