"""Tasks that serve organisations by their shares."""
