//! A parsed document.

use jsonc_parser::ast::{Array, NumberLit, Object, ObjectProp, Value as Node};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::{Map, Number, Value};

use crate::fault::{Fault, WHOLE};
use crate::lines::{Below, LineStarts, Lines};

/// The largest text that is parsed, in bytes. A schema of 19,000 organisations with two keys each
/// takes about 6 MB.
pub const MAX_BYTES: usize = 16 << 20;

/// The deepest nesting of arrays and objects.
pub const MAX_DEPTH: usize = 32;

/// The most faults that are collected from one document; the rest would not be read anyway.
pub const MAX_FAULTS: usize = 100;

/// Beyond JSON, only comments and trailing commas are allowed.
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

/// A parsed text: its JSON value and the line of each part of it.
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
    /// The first fault of syntax, or each duplicate key, bad number and nesting beyond
    /// [`MAX_DEPTH`], [`MAX_FAULTS`] at most; or the text is longer than [`MAX_BYTES`].
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        if text.len() > MAX_BYTES {
            let message = format!("{} bytes, but {MAX_BYTES} is the most", text.len());
            return Err(vec![Fault::new(1, WHOLE, &message)]);
        }
        let root = match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
            Ok(parsed) => parsed.value,
            Err(e) => {
                let message = format!("column {}: {}", e.column_display(), e.kind());
                return Err(vec![Fault::new(e.line_display(), WHOLE, &message)]);
            }
        };
        let Some(root) = root else {
            return Err(vec![Fault::new(1, WHOLE, "there is nothing in it")]);
        };
        let mut cx = Context {
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

    /// Reads the document into a type.
    ///
    /// # Errors
    ///
    /// The first value that does not fit the type: unknown, missing or mistyped field.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Vec<Fault>> {
        serde_path_to_error::deserialize(&self.value).map_err(|e| {
            let path = e.path().to_string();
            let field = if path == "." { WHOLE } else { &path };
            vec![self.fault_at(field, &e.inner().to_string())]
        })
    }

    /// A fault at a field such as `organisations[3].weight`. Where the field does not stand in
    /// the document, its line is that of the nearest value above it that does.
    pub fn fault_at(&self, field: &str, message: &str) -> Fault {
        Fault::new(self.line_of(field), field, message)
    }

    /// Line, from 1, of a field such as `organisations[3].weight`, or of the nearest above it.
    pub fn line_of(&self, field: &str) -> usize {
        self.lines.find(field)
    }
}

/// A step of the path to the value being converted.
enum Step {
    Element(usize),
    Field(String),
}

/// Converts the syntax tree, and keeps the path so that a fault can name its field.
struct Context {
    starts: LineStarts,
    path: Vec<Step>,
    faults: Vec<Fault>,
}

impl Context {
    fn value(&mut self, node: Node<'_>) -> (Value, Lines) {
        let line = self.starts.line(node.start());
        let (value, below) = match node {
            Node::NullKeyword(_) => (Value::Null, Below::Nothing),
            Node::BooleanLit(lit) => (Value::Bool(lit.value), Below::Nothing),
            Node::StringLit(lit) => (Value::String(lit.value.into_owned()), Below::Nothing),
            Node::NumberLit(lit) => (self.number(&lit, line), Below::Nothing),
            // Each level of nesting is a call on the stack here, in `serde` and in dropping the
            // value: without the limit a hostile text of brackets aborts the process by stack
            // overflow. The parser's own limit (512) covers the parse before this point.
            Node::Array(_) | Node::Object(_) if self.path.len() == MAX_DEPTH => {
                self.fault(line, &format!("nested deeper than {MAX_DEPTH} levels"));
                (Value::Null, Below::Nothing)
            }
            Node::Array(array) => self.array(array),
            Node::Object(object) => self.object(object),
        };
        (value, Lines::new(line, below))
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

    fn array(&mut self, array: Array<'_>) -> (Value, Below) {
        let mut values = Vec::with_capacity(array.elements.len());
        let mut lines = Vec::with_capacity(array.elements.len());
        for (i, element) in array.elements.into_iter().enumerate() {
            self.path.push(Step::Element(i));
            let (value, line) = self.value(element);
            self.path.pop();
            values.push(value);
            lines.push(line);
        }
        (Value::Array(values), Below::Elements(lines))
    }

    fn object(&mut self, object: Object<'_>) -> (Value, Below) {
        let mut values = Map::new();
        let mut lines = std::collections::BTreeMap::new();
        for prop in object.properties {
            let line = self.starts.line(prop.start());
            let ObjectProp { name, value, .. } = prop;
            let name = name.into_string();
            self.path.push(Step::Field(name.clone()));
            let (value, below) = self.value(value);
            // Taking the last of two equal keys would silently drop what the operator declared
            // in the first, e.g. a second `services` list replacing the one above it.
            if values.contains_key(&name) {
                self.fault(line, "this key stands twice in the object");
            }
            self.path.pop();
            values.insert(name.clone(), value);
            lines.insert(name, below);
        }
        (Value::Object(values), Below::Fields(lines))
    }

    fn fault(&mut self, line: usize, message: &str) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(Fault::new(line, &self.field(), message));
        }
    }

    fn field(&self) -> String {
        let mut field = String::new();
        for step in &self.path {
            match step {
                Step::Element(i) => field.push_str(&format!("[{i}]")),
                Step::Field(name) if field.is_empty() => field.push_str(name),
                Step::Field(name) => field.push_str(&format!(".{name}")),
            }
        }
        if field.is_empty() {
            WHOLE.to_owned()
        } else {
            field
        }
    }
}
