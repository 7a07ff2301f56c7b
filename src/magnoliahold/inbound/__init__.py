"""Bounds on what those who connect can make a process hold or compute."""
