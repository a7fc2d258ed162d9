package org.dragonflymux.runtime.store;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A request to the etcd v3 JSON gateway.
 *
 * @param path the path, relative to the gateway's address
 * @param body the JSON body
 */
public record EtcdRequest(String path, ObjectNode body) {}
