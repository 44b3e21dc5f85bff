"""Protobuf schemas and the code made of them: python -m flaxscale.proto.make writes it anew."""
