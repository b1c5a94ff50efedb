// Package crowds plays crowds of misbehaving clients against the product's processes: at each port and path, with bodies,
// heads and connections that are legal, oversized, slow, or never completed. Its tests run with the build tag crowds, one at a
// time and apart from other load, as they measure what a process holds.
package crowds
