"""The five rules, checked from recorded socket traffic alone."""
