from hemlockreel_standins import processes


def test_no_port_is_given_out_twice():
    """With 900 of 12,000 ports, chance alone would repeat some 33."""
    ports = [processes.free_port() for _ in range(900)]
    assert len(set(ports)) == len(ports)
