"""The command line ``hemlockreel`` for operators."""
