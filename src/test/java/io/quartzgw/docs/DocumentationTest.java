package io.quartzgw.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that every class and test method that a page names in code font exists in the sources. */
class DocumentationTest {
    private static final Path SOURCE_ROOT = Path.of("src");
    /** Code spans on one line, such as {@code `agent.Heartbeat`}. */
    private static final Pattern CODE_SPAN = Pattern.compile("`([^`\n]+)`");
    /** A class with optional package and optional member; an ellipsis abbreviates the member's name. */
    private static final Pattern CLASS_REFERENCE =
            Pattern.compile("(?:([a-z]+)\\.)?([A-Z][A-Za-z0-9]*[a-z][A-Za-z0-9]*)(?:[.#]([a-z]\\w*)(?:…)?)?");
    /** Names in code font that look like classes but are not classes of this program. */
    private static final Set<String> IGNORED_NAMES = Set.of("Retry-After");

    private static final Set<String> CLASS_NAMES = sourceFiles()
            .map(file -> file.getFileName().toString().replace(".java", ""))
            .collect(Collectors.toSet());

    private static Stream<Path> sourceFiles() {
        try (Stream<Path> files = Files.walk(SOURCE_ROOT)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList().stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static List<String> pages() throws IOException {
        List<String> pages = new ArrayList<>(List.of("README.md", "KNOWN-RED.txt"));
        try (Stream<Path> files = Files.walk(Path.of("docs"))) {
            files.filter(file -> file.toString().endsWith(".md"))
                    .map(Path::toString)
                    .sorted()
                    .forEach(pages::add);
        }
        return pages;
    }

    @ParameterizedTest
    @MethodSource("pages")
    void classesNamedOnPageExist(String page) throws IOException {
        Set<String> unknown = new TreeSet<>();
        Matcher span = CODE_SPAN.matcher(Files.readString(Path.of(page)));
        while (span.find()) {
            Matcher name = CLASS_REFERENCE.matcher(span.group(1));
            if (name.matches()
                    && !IGNORED_NAMES.contains(span.group(1))
                    && !exists(name.group(1), name.group(2), name.group(3))) {
                unknown.add(span.group(1));
            }
        }
        assertEquals(Set.of(), unknown);
    }

    @ParameterizedTest
    @ValueSource(strings = {"docs/architecture.md", "docs/design.md"})
    void pageNamesAtLeastOneClass(String page) throws IOException {
        assertTrue(
                CODE_SPAN.matcher(Files.readString(Path.of(page))).results().anyMatch(span -> CLASS_REFERENCE
                        .matcher(span.group(1))
                        .matches()),
                "the page names no class, so the check of its names would be vacuous");
    }

    private static boolean exists(String packageName, String className, String member) throws IOException {
        if (!CLASS_NAMES.contains(className)) {
            return false;
        }
        String file = className + ".java";
        Path source = sourceFiles()
                .filter(path -> path.getFileName().toString().equals(file))
                .filter(path -> packageName == null
                        || path.getParent().getFileName().toString().equals(packageName))
                .findFirst()
                .orElse(null);
        return source != null && (member == null || Files.readString(source).contains(" " + member));
    }
}
