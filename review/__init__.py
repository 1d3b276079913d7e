"""Cases of independent reviews, and what their scripts share."""
