"""Tests of the scenario language and its checks."""
