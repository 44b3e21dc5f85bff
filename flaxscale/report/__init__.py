"""One page of an incident, from a day's records: `story` makes lanes and series of rows, `page` draws them."""
