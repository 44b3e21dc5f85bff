"""An HTML report of a day: `story` computes lanes and series from its records, `page` renders them."""
