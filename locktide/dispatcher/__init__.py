"""One real dispatcher: what it holds, its clock, and what passes between the sockets and the decisions."""
