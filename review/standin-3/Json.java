import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, doubles, longs and booleans. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private boolean take(char expected) {
        space();
        if (at < text.length() && text.charAt(at) == expected) {
            at++;
            return true;
        }
        return false;
    }

    private Object value() {
        space();
        char first = text.charAt(at);
        if (first == '{') {
            return map();
        }
        if (first == '[') {
            return array();
        }
        if (first == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> number(word);
        };
    }

    private static Object number(String word) {
        if (word.matches("-?[0-9]+")) {
            return Long.parseLong(word);
        }
        return Double.parseDouble(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new HashMap<>();
        take('{');
        while (!take('}')) {
            space();
            String key = string();
            take(':');
            result.put(key, value());
            take(',');
        }
        return result;
    }

    private List<Object> array() {
        List<Object> result = new ArrayList<>();
        take('[');
        while (!take(']')) {
            result.add(value());
            take(',');
        }
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at);
            if (next == '\\') {
                at++;
                next = switch (text.charAt(at)) {
                    case 'n' -> '\n';
                    case 't' -> '\t';
                    case 'r' -> '\r';
                    case 'u' -> {
                        int code = Integer.parseInt(text.substring(at + 1, at + 5), 16);
                        at += 4;
                        yield (char) code;
                    }
                    default -> text.charAt(at);
                };
            }
            result.append(next);
            at++;
        }
        at++;
        return result.toString();
    }
}
