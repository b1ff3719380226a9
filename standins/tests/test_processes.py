from hemlockreel_standins import processes


def test_no_port_is_allocated_twice():
    """900 random picks out of 12,000 ports would repeat about 33."""
    ports = [processes.free_port() for _ in range(900)]
    assert len(set(ports)) == len(ports)


def test_two_processes_allocate_no_common_port():
    """Guards against two processes allocating the same free port.

    A daemon binds its port only later, so the port still looks free to others.
    """
    first, second = processes.PortBlock(), processes.PortBlock()
    ports = [block.take() for block in (first, second) for _ in range(400)]
    assert len(set(ports)) == len(ports)
