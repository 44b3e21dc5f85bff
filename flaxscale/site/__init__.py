"""The operators' settings: Jsonnet files that are checked and converted to the decision module's terms."""
