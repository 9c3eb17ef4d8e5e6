"""Benchmarks; speed is never checked in a test."""
