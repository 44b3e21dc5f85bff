"""What operators state: files in Jsonnet, checked, and turned into the module's terms. The one place for terms."""
