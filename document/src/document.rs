//! A parsed document.

use jsonc_parser::ast::{Array, NumberLit, Object, ObjectProp, Value as Node};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::{Map, Number, Value};

use crate::fault::{Fault, WHOLE_DOCUMENT};
use crate::lines::{Children, LineStarts, Lines};

/// Maximum size of a text, in bytes. A schema of 19,000 organisations with two keys each takes
/// about 6 MB.
pub const MAX_BYTES: usize = 16 << 20;

/// Maximum nesting depth of arrays and objects.
pub const MAX_DEPTH: usize = 32;

/// Maximum number of faults collected from one document. Operators would not read more.
pub const MAX_FAULTS: usize = 100;

/// Accepts JSON with comments and trailing commas, and no other extension.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A parsed text: its JSON value and the line number of each value in it.
#[derive(Debug)]
pub struct Document {
    value: Value,
    lines: Lines,
}

impl Document {
    /// Parses JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns a single fault if the text is longer than [`MAX_BYTES`], or the first syntax error.
    /// Otherwise returns every duplicate key, invalid number and nesting beyond [`MAX_DEPTH`], up
    /// to [`MAX_FAULTS`].
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        if text.len() > MAX_BYTES {
            let message = format!("{} bytes, but {MAX_BYTES} is the most", text.len());
            return Err(vec![Fault::new(1, WHOLE_DOCUMENT, &message)]);
        }
        let root = match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
            Ok(parsed) => parsed.value,
            Err(e) => {
                let message = format!("column {}: {}", e.column_display(), e.kind());
                return Err(vec![Fault::new(e.line_display(), WHOLE_DOCUMENT, &message)]);
            }
        };
        let Some(root) = root else {
            return Err(vec![Fault::new(
                1,
                WHOLE_DOCUMENT,
                "there is nothing in it",
            )]);
        };
        let mut cx = Converter {
            starts: LineStarts::of(text),
            path: Vec::new(),
            faults: Vec::new(),
        };
        let (value, lines) = cx.value(root);
        if cx.faults.is_empty() {
            Ok(Self { value, lines })
        } else {
            Err(cx.faults)
        }
    }

    /// Deserializes the document into a type.
    ///
    /// # Errors
    ///
    /// Returns the first field that is unknown, missing or of the wrong type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Vec<Fault>> {
        serde_path_to_error::deserialize(&self.value).map_err(|e| {
            let path = e.path().to_string();
            let field = if path == "." { WHOLE_DOCUMENT } else { &path };
            vec![self.fault_at(field, &e.inner().to_string())]
        })
    }

    /// Creates a fault at a field such as `organisations[3].weight`. If the document does not
    /// contain the field, the line is that of its nearest ancestor that it does contain.
    pub fn fault_at(&self, field: &str, message: &str) -> Fault {
        Fault::new(self.line_of(field), field, message)
    }

    /// Returns the line, from 1, of a field such as `organisations[3].weight`, or of its nearest
    /// ancestor in the document.
    pub fn line_of(&self, field: &str) -> usize {
        self.lines.find(field)
    }
}

/// A segment of the path to the value being converted.
enum Segment {
    Element(usize),
    Field(String),
}

/// Converts the syntax tree and tracks the path, so that a fault can name its field.
struct Converter {
    starts: LineStarts,
    path: Vec<Segment>,
    faults: Vec<Fault>,
}

impl Converter {
    fn value(&mut self, node: Node<'_>) -> (Value, Lines) {
        let line = self.starts.line(node.start());
        let (value, children) = match node {
            Node::NullKeyword(_) => (Value::Null, Children::None),
            Node::BooleanLit(lit) => (Value::Bool(lit.value), Children::None),
            Node::StringLit(lit) => (Value::String(lit.value.into_owned()), Children::None),
            Node::NumberLit(lit) => (self.number(&lit, line), Children::None),
            // Nesting uses the stack here, in `serde` and when the value is dropped. Without the
            // limit, a malicious text of brackets would abort the process by stack overflow. The
            // parser has a limit of its own (512), which covers the parsing before this point.
            Node::Array(_) | Node::Object(_) if self.path.len() == MAX_DEPTH => {
                self.fault(line, &format!("nested deeper than {MAX_DEPTH} levels"));
                (Value::Null, Children::None)
            }
            Node::Array(array) => self.array(array),
            Node::Object(object) => self.object(object),
        };
        (value, Lines::new(line, children))
    }

    fn number(&mut self, lit: &NumberLit<'_>, line: usize) -> Value {
        if let Ok(number) = serde_json::from_str::<Number>(lit.value) {
            return Value::Number(number);
        }
        self.fault(
            line,
            &format!("`{}` is not a number that can be read", lit.value),
        );
        Value::Null
    }

    fn array(&mut self, array: Array<'_>) -> (Value, Children) {
        let mut values = Vec::with_capacity(array.elements.len());
        let mut lines = Vec::with_capacity(array.elements.len());
        for (i, element) in array.elements.into_iter().enumerate() {
            self.path.push(Segment::Element(i));
            let (value, value_lines) = self.value(element);
            self.path.pop();
            values.push(value);
            lines.push(value_lines);
        }
        (Value::Array(values), Children::Elements(lines))
    }

    fn object(&mut self, object: Object<'_>) -> (Value, Children) {
        let mut values = Map::new();
        let mut lines = std::collections::BTreeMap::new();
        for prop in object.properties {
            let line = self.starts.line(prop.start());
            let ObjectProp { name, value, .. } = prop;
            let name = name.into_string();
            self.path.push(Segment::Field(name.clone()));
            let (value, value_lines) = self.value(value);
            // If the last of two equal keys won, the operator's first declaration would be dropped
            // silently, e.g. if a second `services` list replaced the first one.
            if values.contains_key(&name) {
                self.fault(line, "this key stands twice in the object");
            }
            self.path.pop();
            values.insert(name.clone(), value);
            lines.insert(name, value_lines);
        }
        (Value::Object(values), Children::Fields(lines))
    }

    fn fault(&mut self, line: usize, message: &str) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(Fault::new(line, &self.field(), message));
        }
    }

    fn field(&self) -> String {
        let mut field = String::new();
        for segment in &self.path {
            match segment {
                Segment::Element(i) => field.push_str(&format!("[{i}]")),
                Segment::Field(name) if field.is_empty() => field.push_str(name),
                Segment::Field(name) => field.push_str(&format!(".{name}")),
            }
        }
        if field.is_empty() {
            WHOLE_DOCUMENT.to_owned()
        } else {
            field
        }
    }
}
