"""Decisions about load that need no table, input or output.

They are plain functions and estimators that the systems of an entry call.
"""
