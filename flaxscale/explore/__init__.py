"""Small state machines explored whole: every order of steps, losses, crashes and pauses, to a bound that is said."""
