package coveladder.kdl;

import java.util.List;
import java.util.Map;

/**
 * A node of a KDL document: a name with arguments, properties and children.
 *
 * @param name its name
 * @param arguments its arguments in order
 * @param properties its properties; of several with the same name, the last one
 * @param children its children in order
 * @param line line of its name, from 1
 * @param column column of its name, from 1, in code points
 */
public record KdlNode(
    String name,
    List<KdlValue> arguments,
    Map<String, KdlValue> properties,
    List<KdlNode> children,
    int line,
    int column) {}
