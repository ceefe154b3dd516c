//! Finds the table group that a statement reads or writes: the number after the last underscore of a schema's
//! name, such as 17 in `sales_17.orders`.

/// Lexical elements of a statement. Strings, comments and white space yield none.
#[derive(Debug, Clone, PartialEq)]
enum Token {
    /// An unquoted name or keyword, in lower case.
    Word(String),
    /// A quoted identifier, in lower case and without its quotes.
    Quoted(String),
    /// Any other character.
    Punctuation(char),
}

/// Returns the table group of the first table in a position where tables are named: after FROM, JOIN, INTO,
/// UPDATE, TABLE, TRUNCATE, MERGE, USING or COPY, or after a comma in a list of tables. Strings and comments
/// are ignored, as are column names with any qualifier and tables of schemas named `staging_` and a number.
pub fn table_group(statement: &str) -> Option<u64> {
    let tokens = tokenize(statement);
    let mut scopes = vec![Scope::default()];
    for (position, token) in tokens.iter().enumerate() {
        let previous = position.checked_sub(1).map(|index| &tokens[index]);
        let is_name = match token {
            Token::Punctuation(punctuation) => {
                apply_punctuation(&mut scopes, *punctuation);
                false
            }
            Token::Word(word) => !innermost_scope(&mut scopes).apply_keyword(word, previous),
            Token::Quoted(_) => true,
        };
        if !is_name {
            continue;
        }
        let scope = innermost_scope(&mut scopes);
        if scope.expects_table
            && let Some(group) = group_of_table(&tokens[position..])
        {
            return Some(group);
        }
        scope.expects_table = false;
    }
    None
}

/// Opens or closes a scope, or applies a punctuation character to the innermost one.
fn apply_punctuation(scopes: &mut Vec<Scope>, punctuation: char) {
    let depth = scopes.len();
    let scope = innermost_scope(scopes);
    match punctuation {
        '(' => {
            // The parentheses of `FROM (a JOIN b)` hold tables; those of a function such as `extract(year FROM
            // x)` don't.
            let names_tables = std::mem::replace(&mut scope.expects_table, false);
            scopes.push(Scope {
                expects_table: names_tables,
                reads_tables: names_tables,
                lists_tables: false,
            });
        }
        ')' if depth > 1 => drop(scopes.pop()),
        ',' => scope.expects_table = scope.lists_tables,
        ';' => *scopes = vec![Scope::default()],
        _ => scope.expects_table = false,
    }
}

fn innermost_scope(scopes: &mut [Scope]) -> &mut Scope {
    scopes.last_mut().expect("the outermost scope is never closed")
}

/// Parser state within one pair of parentheses, or of the statement itself.
#[derive(Default, Clone, Copy)]
struct Scope {
    /// The next name is that of a table.
    expects_table: bool,
    /// The scope holds a query or another statement on tables, so that FROM is followed by tables.
    reads_tables: bool,
    /// A comma is followed by another table.
    lists_tables: bool,
}

impl Scope {
    /// Applies a keyword. Returns false for any other word, which may then be a name.
    fn apply_keyword(&mut self, word: &str, previous: Option<&Token>) -> bool {
        let follows =
            |wanted: &[&str]| matches!(previous, Some(Token::Word(word)) if wanted.contains(&word.as_str()));
        match word {
            "select" | "delete" | "with" => (self.reads_tables, self.lists_tables) = (true, false),
            "update" if follows(&["for", "do", "on"]) => {}
            "update" | "into" | "table" | "copy" | "truncate" | "merge" => {
                (self.reads_tables, self.expects_table) = (true, true);
            }
            "from" if !self.reads_tables || follows(&["distinct"]) => {}
            "from" | "using" => {
                (self.expects_table, self.lists_tables) = (self.reads_tables, self.reads_tables);
            }
            "join" => self.expects_table = true,
            "only" | "lateral" | "if" | "not" | "exists" | "low_priority" | "ignore" => {}
            "where" | "group" | "order" | "having" | "set" | "values" | "limit" | "on" | "union"
            | "returning" | "window" | "intersect" | "except" => {
                (self.expects_table, self.lists_tables) = (false, false);
            }
            _ => return false,
        }
        true
    }
}

/// Returns the table group of a qualified table name, `schema.table` or `catalog.schema.table`.
fn group_of_table(tokens: &[Token]) -> Option<u64> {
    let mut parts = Vec::new();
    for (index, token) in tokens.iter().enumerate() {
        match token {
            Token::Word(name) | Token::Quoted(name) if index % 2 == 0 => parts.push(name.as_str()),
            Token::Punctuation('.') if index % 2 == 1 => {}
            _ => break,
        }
    }
    let schema = parts.len().checked_sub(2).map(|index| parts[index])?;
    let (name, digits) = schema.rsplit_once('_')?;
    if name.is_empty() || name == "staging" || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

fn tokenize(statement: &str) -> Vec<Token> {
    let mut tokens = Vec::new();
    let mut rest = statement;
    while let Some(first) = rest.chars().next() {
        let length = match first {
            '\'' => quoted_length(rest, '\''),
            '"' | '`' => {
                let length = quoted_length(rest, first);
                let inner = rest[..length].trim_matches(first);
                tokens.push(Token::Quoted(inner.to_lowercase()));
                length
            }
            '-' if rest.starts_with("--") => rest.find('\n').unwrap_or(rest.len()),
            '/' if rest.starts_with("/*") => comment_length(rest),
            '$' => dollar_quoted_length(rest),
            c if c.is_alphanumeric() || c == '_' => {
                let end = rest.find(|c: char| !(c.is_alphanumeric() || c == '_' || c == '$'));
                let length = end.unwrap_or(rest.len());
                tokens.push(Token::Word(rest[..length].to_lowercase()));
                length
            }
            c => {
                if !c.is_whitespace() {
                    tokens.push(Token::Punctuation(c));
                }
                c.len_utf8()
            }
        };
        rest = &rest[length..];
    }
    tokens
}

/// Length of a quoted string with its quotes. A doubled quote stands for one.
fn quoted_length(text: &str, quote: char) -> usize {
    let mut from = 1;
    while let Some(end) = text[from..].find(quote) {
        from += end + 1;
        if !text[from..].starts_with(quote) {
            return from;
        }
        from += 1;
    }
    text.len()
}

/// Length of a block comment, which may be nested.
fn comment_length(text: &str) -> usize {
    let (mut depth, mut at) = (0, 0);
    let bytes = text.as_bytes();
    while at + 1 < bytes.len() {
        match &bytes[at..at + 2] {
            b"/*" => (depth, at) = (depth + 1, at + 2),
            b"*/" => (depth, at) = (depth - 1, at + 2),
            _ => at += 1,
        }
        if depth == 0 {
            return at;
        }
    }
    text.len()
}

/// Length of a dollar-quoted string (`$tag$...$tag$`), or 1 if the dollar sign opens none.
fn dollar_quoted_length(text: &str) -> usize {
    let Some(end) = text[1..].find('$').map(|end| end + 2) else { return 1 };
    let tag = &text[..end];
    if !tag[1..end - 1].chars().all(|c| c.is_alphanumeric() || c == '_') {
        return 1;
    }
    text[end..].find(tag).map_or(text.len(), |close| end + close + end)
}

#[cfg(test)]
#[path = "../../tests/unit/statement.rs"]
mod tests;
