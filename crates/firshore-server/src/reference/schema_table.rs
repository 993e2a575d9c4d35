//! Markdown tables from JSON schemas.

use schemars::Schema;
use serde_json::{Map, Value};
use std::sync::LazyLock;

type Object = Map<String, Value>;

static NO_FIELDS: LazyLock<Object> = LazyLock::new(Object::new);

/// A schema with the definitions it refers to.
struct Document<'a> {
    root: &'a Object,
}

impl<'a> Document<'a> {
    fn new(schema: &'a Schema) -> Self {
        let root = schema.as_object().unwrap_or(&NO_FIELDS);
        Self { root }
    }

    fn definitions(&self) -> &'a Object {
        object(self.root, "$defs")
    }

    /// Name of the definition that a property refers to, directly or as an optional value.
    fn referred(&self, property: &'a Object) -> Option<&'a str> {
        let direct = property.get("$ref");
        let optional = list(property, "anyOf")
            .iter()
            .find_map(|choice| choice.get("$ref"));
        let path = direct.or(optional)?.as_str()?;
        path.strip_prefix("#/$defs/")
    }

    fn definition(&self, name: &str) -> &'a Object {
        object(self.definitions(), name)
    }

    /// The type in words; an object's name links to its own table if `link` is set.
    fn describe(&self, property: &'a Object, link: bool) -> String {
        if let Some(name) = self.referred(property) {
            let definition = self.definition(name);
            if link && definition.contains_key("properties") {
                return format!("[{name}](#{})", name.to_lowercase());
            }
            return self.describe(definition, link);
        }
        let choices = list(property, "oneOf");
        if !choices.is_empty() {
            let values: Vec<String> = choices
                .iter()
                .filter_map(|choice| choice.get("const")?.as_str())
                .map(|value| format!("`{value}`"))
                .collect();
            return values.join(" or ");
        }
        match type_name(property) {
            "integer" => integer(property),
            "number" => "number".to_owned(),
            "boolean" => "`true` or `false`".to_owned(),
            "array" => format!("list of {}", self.describe(object(property, "items"), link)),
            "object" => self.map(property, link),
            _ => "text".to_owned(),
        }
    }

    fn map(&self, property: &'a Object, link: bool) -> String {
        let values = self.describe(object(property, "additionalProperties"), link);
        let keys = list(object(property, "propertyNames"), "enum");
        let keys: Vec<&str> = keys.iter().filter_map(Value::as_str).collect();
        if keys.is_empty() {
            format!("map of text to {values}")
        } else {
            format!("map of {} to {values}", keys.join(", "))
        }
    }
}

fn object<'a>(parent: &'a Object, key: &str) -> &'a Object {
    parent
        .get(key)
        .and_then(Value::as_object)
        .unwrap_or(&NO_FIELDS)
}

fn list<'a>(parent: &'a Object, key: &str) -> &'a [Value] {
    parent
        .get(key)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}

fn text<'a>(parent: &'a Object, key: &str) -> &'a str {
    parent.get(key).and_then(Value::as_str).unwrap_or("")
}

fn type_name(property: &Object) -> &str {
    match property.get("type") {
        Some(Value::String(name)) => name,
        Some(Value::Array(names)) => names.first().and_then(Value::as_str).unwrap_or(""),
        _ => "",
    }
}

fn integer(property: &Object) -> String {
    match (property.get("minimum"), property.get("maximum")) {
        (Some(minimum), Some(maximum)) => format!("integer, {minimum} to {maximum}"),
        (Some(minimum), None) => format!("integer, at least {minimum}"),
        _ => "integer".to_owned(),
    }
}

fn default(owner: &Object, name: &str, property: &Object, required: &str) -> String {
    let is_required = list(owner, "required")
        .iter()
        .any(|one| one.as_str() == Some(name));
    if is_required {
        return required.to_owned();
    }
    match property.get("default") {
        Some(value) if value.is_number() || value.is_string() || value.is_boolean() => {
            format!("`{value}`")
        }
        _ => String::new(),
    }
}

fn meaning(property: &Object) -> String {
    text(property, "description")
        .replace('\n', " ")
        .replace('|', "\\|")
}

/// One table with a row for each value, under its dotted key; nested objects are laid flat.
pub fn dotted(schema: &Schema) -> String {
    let document = Document::new(schema);
    let mut rows = String::from("| key | type | default | meaning |\n|---|---|---|---|\n");
    add_dotted(&document, document.root, "", "required", &mut rows);
    rows
}

fn add_dotted(
    document: &Document<'_>,
    owner: &Object,
    prefix: &str,
    required: &str,
    rows: &mut String,
) {
    for (name, property) in object(owner, "properties") {
        let Some(property) = property.as_object() else {
            continue;
        };
        let key = format!("{prefix}{name}");
        let nested = document
            .referred(property)
            .map(|name| document.definition(name))
            .filter(|definition| definition.contains_key("properties"));
        if let Some(nested) = nested {
            let within = if property.contains_key("anyOf") {
                format!("required in `[{key}]`, which may be left out")
            } else {
                required.to_owned()
            };
            add_dotted(document, nested, &format!("{key}."), &within, rows);
            continue;
        }
        rows.push_str(&format!(
            "| `{key}` | {} | {} | {} |\n",
            document.describe(property, false),
            default(owner, name, property, required),
            meaning(property)
        ));
    }
}

/// One table for each kind that the schema chooses between, then one for each other object.
pub fn by_definition(schema: &Schema) -> String {
    let document = Document::new(schema);
    let mut text = String::new();
    for kind in list(document.root, "oneOf") {
        let Some(kind) = kind.as_object() else {
            continue;
        };
        let properties = object(kind, "properties");
        let name = object(properties, "kind")
            .get("const")
            .and_then(Value::as_str);
        let spec = document.referred(object(properties, "spec"));
        if let (Some(name), Some(spec)) = (name, spec) {
            let title = format!("Kind `{name}`: `spec`");
            text.push_str(&table(&document, &title, document.definition(spec)));
        }
    }
    for (name, definition) in document.definitions() {
        let Some(definition) = definition.as_object() else {
            continue;
        };
        if definition.contains_key("properties") && !name.ends_with("Spec") {
            text.push_str(&table(&document, name, definition));
        }
    }
    text.trim_end().to_owned() + "\n"
}

fn table(document: &Document<'_>, title: &str, owner: &Object) -> String {
    let mut rows = format!(
        "### {title}\n\n{}\n\n| field | type | default | meaning |\n|---|---|---|---|\n",
        meaning(owner)
    );
    for (name, property) in object(owner, "properties") {
        let Some(property) = property.as_object() else {
            continue;
        };
        rows.push_str(&format!(
            "| `{name}` | {} | {} | {} |\n",
            document.describe(property, true),
            default(owner, name, property, "required"),
            meaning(property)
        ));
    }
    rows + "\n"
}
