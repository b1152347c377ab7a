"""Tools for operators, such as the analysis of logs."""
