//! Macros that define domain types with their common derives.
//!
//! [`domain!`](crate::domain) and [`domain_value!`](crate::domain_value) add derives;
//! [`text_id!`](crate::text_id) and [`quantity!`](crate::quantity) define newtypes with
//! `Display` and `FromStr`.

/// Derives the common traits of records and messages for each item.
#[macro_export]
macro_rules! domain {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the common traits of small, ordered `Copy` values.
#[macro_export]
macro_rules! domain_value {
    ($($item:item)*) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            $item
        )*
    };
}

/// Defines string identifiers of 1 to 128 visible ASCII characters.
#[macro_export]
macro_rules! text_id {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
            #[serde(try_from = "::compact_str::CompactString", into = "::compact_str::CompactString")]
            pub struct $name(::compact_str::CompactString);

            impl $name {
                /// Returns the identifier as a string slice.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl ::std::str::FromStr for $name {
                type Err = $crate::ids::ParseIdError;

                fn from_str(s: &str) -> Result<Self, Self::Err> {
                    $crate::ids::check_text_id(stringify!($name), s)?;
                    Ok(Self(s.into()))
                }
            }

            impl TryFrom<::compact_str::CompactString> for $name {
                type Error = $crate::ids::ParseIdError;

                fn try_from(s: ::compact_str::CompactString) -> Result<Self, Self::Error> {
                    $crate::ids::check_text_id(stringify!($name), &s)?;
                    Ok(Self(s))
                }
            }

            impl From<$name> for ::compact_str::CompactString {
                fn from(id: $name) -> Self {
                    id.0
                }
            }
        )*
    };
}

/// Defines integer quantities, displayed as the number followed by the unit.
#[macro_export]
macro_rules! quantity {
    ($($(#[$meta:meta])* $name:ident, $unit:literal;)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub u64);

            impl $name {
                /// Returns the number without its unit.
                pub const fn get(self) -> u64 {
                    self.0
                }

                /// Adds, saturating at `u64::MAX`.
                pub const fn plus(self, other: Self) -> Self {
                    Self(self.0.saturating_add(other.0))
                }

                /// Subtracts, saturating at zero.
                pub const fn minus(self, other: Self) -> Self {
                    Self(self.0.saturating_sub(other.0))
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    write!(f, "{}{}", self.0, $unit)
                }
            }

            impl ::std::str::FromStr for $name {
                type Err = $crate::ids::ParseIdError;

                fn from_str(s: &str) -> Result<Self, Self::Err> {
                    let number = s.strip_suffix($unit).unwrap_or(s);
                    number.parse().map(Self).map_err(|_| {
                        $crate::ids::ParseIdError::new(stringify!($name), s, concat!("a whole number followed by `", $unit, "`"))
                    })
                }
            }
        )*
    };
}
