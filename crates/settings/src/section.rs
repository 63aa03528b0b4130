//! Typed reading of INI sections that remembers which keys are known.

use std::{fmt::Display, fs, ops::RangeInclusive, path::Path, str::FromStr};

use ini::{Ini, ParseOption, Properties};

use crate::error::{Error, Result};

/// A parsed file and its name.
pub struct Document {
    file: String,
    ini: Ini,
}

impl Document {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|e| Error::Unreadable { file: file.clone(), cause: e.to_string() })?;
        Self::parse(&file, &text)
    }

    /// Reads the text of a file; `file` is its name in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let opt =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, opt).map_err(|e| Error::Syntax {
            file: file.into(),
            line: e.line,
            cause: e.msg.into_owned(),
        })?;
        Ok(Self { file: file.into(), ini })
    }

    /// Refuses sections other than those given, and keys outside any section.
    pub fn allow_sections(&self, known: &[&str]) -> Result<()> {
        if let Some((key, _)) = self.ini.general_section().iter().next() {
            return Err(Error::NoSection { file: self.file.clone(), key: key.into() });
        }
        match self.ini.sections().flatten().find(|name| !known.contains(name)) {
            None => Ok(()),
            Some(name) => Err(Error::UnknownSection {
                file: self.file.clone(),
                section: name.into(),
                allowed: known.join(", "),
            }),
        }
    }

    /// Whether the file has a section.
    pub fn has_section(&self, name: &str) -> bool {
        self.ini.section(Some(name)).is_some()
    }

    /// A section; one that is not in the file reads as empty.
    pub fn section(&self, name: &'static str) -> Result<Section<'_>> {
        let mut all = self.ini.section_all(Some(name));
        let properties = all.next();
        if all.next().is_some() {
            return Err(Error::Duplicate {
                file: self.file.clone(),
                section: name.into(),
                what: "the section".into(),
            });
        }
        Ok(Section { file: &self.file, name, properties, known: Vec::new() })
    }

    /// The error of a key that does not fit others.
    pub fn clash(&self, section: &str, key: &str, remedy: impl Into<String>) -> Error {
        Error::Clash {
            file: self.file.clone(),
            section: section.into(),
            key: key.into(),
            remedy: remedy.into(),
        }
    }
}

/// One section. Reading a key makes it known; [`Section::finish`] refuses the others.
#[derive(Clone)]
pub struct Section<'a> {
    file: &'a str,
    name: &'static str,
    properties: Option<&'a Properties>,
    known: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// The value of a key that must be there.
    pub fn value<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Result<T> {
        match self.raw(key)? {
            Some(raw) => self.parsed(key, raw, allowed),
            None => Err(self.missing(key, allowed)),
        }
    }

    /// The value of a key, or its default.
    pub fn value_or<T: FromStr>(
        &mut self,
        key: &'static str,
        allowed: &str,
        default: T,
    ) -> Result<T> {
        match self.raw(key)? {
            Some(raw) => self.parsed(key, raw, allowed),
            None => Ok(default),
        }
    }

    /// A whole number within a range, or its default.
    pub fn number<T>(
        &mut self,
        key: &'static str,
        default: T,
        range: RangeInclusive<T>,
    ) -> Result<T>
    where
        T: Copy + Display + FromStr + PartialOrd,
    {
        let Some(raw) = self.raw(key)? else { return Ok(default) };
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let number = self.parsed(key, raw, &allowed)?;
        if range.contains(&number) { Ok(number) } else { Err(self.refused(key, raw, &allowed)) }
    }

    /// Every line of a section whose keys are names of the user's own choice.
    pub fn entries<K: FromStr, V: FromStr>(
        self,
        allowed_key: &str,
        allowed: &str,
    ) -> Result<Vec<(K, V)>> {
        let Some(properties) = self.properties else { return Ok(Vec::new()) };
        let entry = |(key, raw): (&str, &str)| {
            self.refuse_twice(key)?;
            let name = key.parse().map_err(|_| self.unknown(key, allowed_key))?;
            Ok((name, self.parsed(key, raw, allowed)?))
        };
        properties.iter().map(entry).collect()
    }

    /// Refuses keys that were not asked for.
    pub fn finish(self) -> Result<()> {
        let Some(properties) = self.properties else { return Ok(()) };
        match properties.iter().find(|(key, _)| !self.known.contains(key)) {
            None => Ok(()),
            Some((key, _)) => Err(self.unknown(key, &self.known.join(", "))),
        }
    }

    /// The error of a key that must be there.
    pub fn missing(&self, key: &str, allowed: &str) -> Error {
        Error::Missing {
            file: self.file.into(),
            section: self.name.into(),
            key: key.into(),
            allowed: allowed.into(),
        }
    }

    /// The error of a value that is not allowed.
    pub fn refused(&self, key: &str, found: &str, allowed: &str) -> Error {
        Error::Value {
            file: self.file.into(),
            section: self.name.into(),
            key: key.into(),
            found: found.into(),
            allowed: allowed.into(),
        }
    }

    /// The error of a key that does not fit others of the section.
    pub fn clash(&self, key: &str, remedy: impl Into<String>) -> Error {
        Error::Clash {
            file: self.file.into(),
            section: self.name.into(),
            key: key.into(),
            remedy: remedy.into(),
        }
    }

    fn raw(&mut self, key: &'static str) -> Result<Option<&'a str>> {
        self.known.push(key);
        self.refuse_twice(key)?;
        Ok(self.properties.and_then(|properties| properties.get(key)))
    }

    fn refuse_twice(&self, key: &str) -> Result<()> {
        let count = self.properties.map_or(0, |properties| properties.get_all(key).count());
        if count < 2 {
            return Ok(());
        }
        Err(Error::Duplicate {
            file: self.file.into(),
            section: self.name.into(),
            what: format!("key '{key}'"),
        })
    }

    fn parsed<T: FromStr>(&self, key: &str, raw: &str, allowed: &str) -> Result<T> {
        raw.trim().parse().map_err(|_| self.refused(key, raw, allowed))
    }

    fn unknown(&self, key: &str, allowed: &str) -> Error {
        Error::UnknownKey {
            file: self.file.into(),
            section: self.name.into(),
            key: key.into(),
            allowed: allowed.into(),
        }
    }
}
